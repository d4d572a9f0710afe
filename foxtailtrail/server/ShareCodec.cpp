#include "foxtailtrail/server/ShareCodec.h"

namespace foxtail {

namespace {

    // Reads the elements of an array in order. The first element of the wrong type makes all later reads fail.
    class ArrayReader {
    public:
        explicit ArrayReader(const json::value& value)
            : array(value.if_array())
        {
        }

        uint64_t takeUnsigned()
        {
            const json::value* value = this->next();
            if (value && value->is_uint64())
                return value->as_uint64();
            if (value && value->is_int64() && value->as_int64() >= 0)
                return static_cast<uint64_t>(value->as_int64());
            this->array = nullptr;
            return 0;
        }

        double takeNumber()
        {
            const json::value* value = this->next();
            if (value && value->is_number())
                return value->to_number<double>();
            this->array = nullptr;
            return 0;
        }

        std::string takeText()
        {
            const json::value* value = this->next();
            if (value && value->is_string())
                return std::string(value->as_string());
            this->array = nullptr;
            return {};
        }

        // The next element, for a nested array. Null when there is none.
        const json::value* next()
        {
            if (!this->array || this->position >= this->array->size()) {
                this->array = nullptr;
                return nullptr;
            }
            return &(*this->array)[this->position++];
        }

        // Whether every read so far succeeded.
        bool isGood() const { return this->array != nullptr; }

    private:
        const json::array* array;
        size_t position = 0;
    };

    auto malformed() { return fail(ErrorKind::MalformedRequest, "a message of lending has an item of the wrong shape"); }

    json::array encodeClosed(const ClosedLoan& closed) { return { closed.loan.lenderIncarnation, closed.loan.number, closed.unused }; }

    ClosedLoan takeClosed(ArrayReader& reader)
    {
        ClosedLoan closed;
        closed.loan.lenderIncarnation = reader.takeUnsigned();
        closed.loan.number = reader.takeUnsigned();
        closed.unused = static_cast<uint32_t>(reader.takeUnsigned());
        return closed;
    }

    Result<BorrowItem> decodeBorrowItem(const json::value& value)
    {
        ArrayReader reader(value);
        BorrowItem item;
        item.organisation.value = reader.takeText();
        item.ownerEpoch = reader.takeUnsigned();
        item.wanted = static_cast<uint32_t>(reader.takeUnsigned());
        item.demand = reader.takeNumber();
        const json::value* closed = reader.next();
        if (!closed || !closed->is_array() || closed->as_array().size() > maximumClosedLoansPerItem)
            return malformed();
        for (const json::value& entry : closed->as_array()) {
            ArrayReader closedReader(entry);
            item.closed.push_back(takeClosed(closedReader));
            if (!closedReader.isGood())
                return malformed();
        }
        return item;
    }

    Result<GrantItem> decodeGrantItem(const json::value& value)
    {
        ArrayReader reader(value);
        GrantItem item;
        item.organisation.value = reader.takeText();
        const uint64_t status = reader.takeUnsigned();
        item.loan.lenderIncarnation = reader.takeUnsigned();
        item.loan.number = reader.takeUnsigned();
        item.tokens = static_cast<uint32_t>(reader.takeUnsigned());
        item.life = Duration(reader.takeUnsigned());
        item.exhausted = reader.takeUnsigned() != 0;
        item.expectedRate = reader.takeNumber();
        item.askAgainAfter = Duration(reader.takeUnsigned());
        if (!reader.isGood() || status > static_cast<uint64_t>(GrantStatus::NotReady))
            return malformed();
        item.status = static_cast<GrantStatus>(status);
        return item;
    }

    Result<GiveBackItem> decodeGiveBackItem(const json::value& value)
    {
        ArrayReader reader(value);
        GiveBackItem item;
        item.organisation.value = reader.takeText();
        item.closed = takeClosed(reader);
        if (!reader.isGood())
            return malformed();
        return item;
    }

    // Decodes the member "items" with the given function per item.
    template <typename Item> Result<std::vector<Item>> decodeItems(const json::object& object, Result<Item> (*decode)(const json::value&))
    {
        BOOST_OUTCOME_TRY(const json::array items, arrayMember(object, "items"));
        if (items.size() > maximumItemsPerBorrowMessage)
            return fail(ErrorKind::MalformedRequest, "a message of lending names too many organisations");
        std::vector<Item> decoded;
        for (const json::value& value : items) {
            BOOST_OUTCOME_TRY(Item item, decode(value));
            decoded.push_back(std::move(item));
        }
        return decoded;
    }

}

json::object encodeBorrowRequest(const BorrowRequest& request)
{
    json::array items;
    for (const BorrowItem& item : request.items) {
        json::array closed;
        for (const ClosedLoan& loan : item.closed)
            closed.push_back(encodeClosed(loan));
        items.push_back(json::array { item.organisation.value, item.ownerEpoch, item.wanted, item.demand, std::move(closed) });
    }
    return { { "borrower", request.borrower.value }, { "incarnation", request.borrowerIncarnation }, { "sequence", request.sequence },
        { "items", std::move(items) } };
}

Result<BorrowRequest> decodeBorrowRequest(const json::object& object)
{
    BorrowRequest request;
    BOOST_OUTCOME_TRY(request.borrower.value, stringMember(object, "borrower"));
    BOOST_OUTCOME_TRY(request.borrowerIncarnation, unsignedMember(object, "incarnation"));
    BOOST_OUTCOME_TRY(request.sequence, unsignedMember(object, "sequence"));
    BOOST_OUTCOME_TRY(request.items, decodeItems(object, decodeBorrowItem));
    return request;
}

json::object encodeBorrowReply(const BorrowReply& reply)
{
    json::array items;
    for (const GrantItem& item : reply.items) {
        items.push_back(json::array { item.organisation.value, static_cast<uint64_t>(item.status), item.loan.lenderIncarnation,
            item.loan.number, item.tokens, static_cast<uint64_t>(item.life.count()), item.exhausted ? 1 : 0, item.expectedRate,
            static_cast<uint64_t>(item.askAgainAfter.count()) });
    }
    return { { "sequence", reply.sequence }, { "items", std::move(items) } };
}

Result<BorrowReply> decodeBorrowReply(const json::object& object)
{
    BorrowReply reply;
    BOOST_OUTCOME_TRY(reply.sequence, unsignedMember(object, "sequence"));
    BOOST_OUTCOME_TRY(reply.items, decodeItems(object, decodeGrantItem));
    return reply;
}

json::object encodeGiveBack(const GiveBack& message)
{
    json::array items;
    for (const GiveBackItem& item : message.items)
        items.push_back(
            json::array { item.organisation.value, item.closed.loan.lenderIncarnation, item.closed.loan.number, item.closed.unused });
    return { { "borrower", message.borrower.value }, { "items", std::move(items) } };
}

Result<GiveBack> decodeGiveBack(const json::object& object)
{
    GiveBack message;
    BOOST_OUTCOME_TRY(message.borrower.value, stringMember(object, "borrower"));
    BOOST_OUTCOME_TRY(message.items, decodeItems(object, decodeGiveBackItem));
    return message;
}

}
