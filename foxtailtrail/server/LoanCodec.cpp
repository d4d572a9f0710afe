#include "foxtailtrail/server/LoanCodec.h"

namespace foxtail {

namespace {

    // Reader for the elements of an array in order. After the first missing element or element of the wrong type, all reads fail.
    class ArrayReader {
    public:
        explicit ArrayReader(const json::value& value)
            : array(value.if_array())
        {
        }

        uint64_t readUnsigned()
        {
            const json::value* value = this->readElement();
            if (value && value->is_uint64())
                return value->as_uint64();
            if (value && value->is_int64() && value->as_int64() >= 0)
                return static_cast<uint64_t>(value->as_int64());
            this->array = nullptr;
            return 0;
        }

        double readNumber()
        {
            const json::value* value = this->readElement();
            if (value && value->is_number())
                return value->to_number<double>();
            this->array = nullptr;
            return 0;
        }

        std::string readText()
        {
            const json::value* value = this->readElement();
            if (value && value->is_string())
                return std::string(value->as_string());
            this->array = nullptr;
            return {};
        }

        // Returns the next element, for example a nested array, or null if there is none.
        const json::value* readElement()
        {
            if (!this->array || this->position >= this->array->size()) {
                this->array = nullptr;
                return nullptr;
            }
            return &(*this->array)[this->position++];
        }

        // Returns whether every read so far succeeded.
        bool isValid() const { return this->array != nullptr; }

    private:
        const json::array* array;
        size_t position = 0;
    };

    auto malformedItem() { return fail(ErrorKind::MalformedRequest, "a loan message contains an item with a missing or invalid element"); }

    json::array encodeBalance(const LoanBalance& balance)
    {
        return { balance.loan.lenderIncarnation, balance.loan.number, balance.unused };
    }

    LoanBalance readBalance(ArrayReader& reader)
    {
        LoanBalance balance;
        balance.loan.lenderIncarnation = reader.readUnsigned();
        balance.loan.number = reader.readUnsigned();
        balance.unused = static_cast<uint32_t>(reader.readUnsigned());
        return balance;
    }

    Result<BorrowItem> decodeBorrowItem(const json::value& value)
    {
        ArrayReader reader(value);
        BorrowItem item;
        item.organisation.value = reader.readText();
        item.ownerEpoch = reader.readUnsigned();
        item.wanted = static_cast<uint32_t>(reader.readUnsigned());
        item.demandPerSecond = reader.readNumber();
        item.prefetchTokens = static_cast<uint32_t>(reader.readUnsigned());
        for (std::vector<LoanBalance>* loans : { &item.closedLoans, &item.heldLoans }) {
            const json::value* list = reader.readElement();
            if (!list || !list->is_array() || list->as_array().size() > maxLoansPerItem)
                return malformedItem();
            for (const json::value& entry : list->as_array()) {
                ArrayReader loanReader(entry);
                loans->push_back(readBalance(loanReader));
                if (!loanReader.isValid())
                    return malformedItem();
            }
        }
        return item;
    }

    Result<GrantItem> decodeGrantItem(const json::value& value)
    {
        ArrayReader reader(value);
        GrantItem item;
        item.organisation.value = reader.readText();
        const uint64_t status = reader.readUnsigned();
        item.loan.lenderIncarnation = reader.readUnsigned();
        item.loan.number = reader.readUnsigned();
        item.tokens = static_cast<uint32_t>(reader.readUnsigned());
        item.lifetime = Duration(reader.readUnsigned());
        item.isExhausted = reader.readUnsigned() != 0;
        item.expectedRate = reader.readNumber();
        item.retryDelay = Duration(reader.readUnsigned());
        if (!reader.isValid() || status > static_cast<uint64_t>(GrantStatus::NotReady))
            return malformedItem();
        item.status = static_cast<GrantStatus>(status);
        return item;
    }

    Result<LoanReturnItem> decodeLoanReturnItem(const json::value& value)
    {
        ArrayReader reader(value);
        LoanReturnItem item;
        item.organisation.value = reader.readText();
        item.closedLoan = readBalance(reader);
        if (!reader.isValid())
            return malformedItem();
        return item;
    }

    // Decodes the member "items", each item with the given function.
    template <typename Item> Result<std::vector<Item>> decodeItems(const json::object& object, Result<Item> (*decode)(const json::value&))
    {
        BOOST_OUTCOME_TRY(const json::array items, arrayMember(object, "items"));
        if (items.size() > maxItemsPerBorrowMessage)
            return fail(ErrorKind::MalformedRequest, "a loan message contains too many items");
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
        for (const LoanBalance& loan : item.closedLoans)
            closed.push_back(encodeBalance(loan));
        json::array held;
        for (const LoanBalance& loan : item.heldLoans)
            held.push_back(encodeBalance(loan));
        items.push_back(json::array { item.organisation.value, item.ownerEpoch, item.wanted, item.demandPerSecond, item.prefetchTokens,
            std::move(closed), std::move(held) });
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
            item.loan.number, item.tokens, static_cast<uint64_t>(item.lifetime.count()), item.isExhausted ? 1 : 0, item.expectedRate,
            static_cast<uint64_t>(item.retryDelay.count()) });
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

json::object encodeLoanReturn(const LoanReturn& message)
{
    json::array items;
    for (const LoanReturnItem& item : message.items)
        items.push_back(json::array {
            item.organisation.value, item.closedLoan.loan.lenderIncarnation, item.closedLoan.loan.number, item.closedLoan.unused });
    return { { "borrower", message.borrower.value }, { "items", std::move(items) } };
}

Result<LoanReturn> decodeLoanReturn(const json::object& object)
{
    LoanReturn message;
    BOOST_OUTCOME_TRY(message.borrower.value, stringMember(object, "borrower"));
    BOOST_OUTCOME_TRY(message.items, decodeItems(object, decodeLoanReturnItem));
    return message;
}

}
