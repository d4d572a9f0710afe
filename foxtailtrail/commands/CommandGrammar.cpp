#include "foxtailtrail/commands/CommandGrammar.h"

#include "foxtailtrail/commands/NearestWord.h"
#include "foxtailtrail/config/ConfigurationValidation.h"

#include <algorithm>
#include <boost/spirit/home/x3.hpp>
#include <charconv>
#include <cmath>

namespace foxtail {

namespace {

    namespace x3 = boost::spirit::x3;
    using Iterator = std::string_view::const_iterator;

    bool isWordCharacter(char character) { return isValidId(std::string_view(&character, 1)); }

    // Remembers the furthest place at which nothing matched and what would have matched there.
    class SyntaxErrorTracker {
    public:
        explicit SyntaxErrorTracker(std::string_view text)
            : text(text)
            , furthestPosition(text.begin())
        {
        }

        void recordExpectation(Iterator place, std::string_view expected, bool isWord)
        {
            if (place < this->furthestPosition)
                return;
            if (place > this->furthestPosition) {
                this->furthestPosition = place;
                this->expectations.clear();
                this->expectedWords.clear();
            }
            const std::string entry(expected);
            if (std::find(this->expectations.begin(), this->expectations.end(), entry) != this->expectations.end())
                return;
            this->expectations.push_back(entry);
            if (isWord)
                this->expectedWords.push_back(entry);
        }

        CommandSyntaxError syntaxError() const
        {
            const auto isFirstByte = [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0) != 0x80; };
            const auto before = std::count_if(this->text.begin(), this->furthestPosition, isFirstByte);
            const std::string found(this->furthestPosition, std::find_if_not(this->furthestPosition, this->text.end(), isWordCharacter));
            return { static_cast<size_t>(before) + 1, this->expectedText(), nearestWord(found, this->expectedWords).value_or("") };
        }

    private:
        std::string expectedText() const
        {
            std::string list;
            for (size_t index = 0; index < this->expectations.size(); ++index) {
                if (index > 0)
                    list += index + 1 == this->expectations.size() ? " or " : ", ";
                list += this->expectations[index];
            }
            return list;
        }

        std::string_view text;
        Iterator furthestPosition;
        std::vector<std::string> expectations;
        std::vector<std::string> expectedWords;
    };

    struct TrackerTag;

    template <typename Context> SyntaxErrorTracker& trackerOf(const Context& context) { return x3::get<TrackerTag>(context).get(); }

    // Base of the terminal parsers: skips blanks, lets the terminal match, and notes what was expected if it does not.
    template <typename Derived, typename Attribute> struct Terminal : x3::parser<Derived> {
        // NOLINTBEGIN(readability-identifier-naming): Spirit X3 prescribes these names.
        using attribute_type = Attribute;
        static constexpr bool has_attribute = !std::is_same_v<Attribute, x3::unused_type>;
        // NOLINTEND(readability-identifier-naming)

        template <typename Context, typename RuleContext, typename Target>
        bool parse(Iterator& first, const Iterator& last, const Context& context, RuleContext&, Target& target) const
        {
            Iterator place = first;
            x3::skip_over(place, last, context);
            Attribute value {};
            Iterator end = place;
            if (!this->derived().match(end, last, value)) {
                this->derived().recordExpected(trackerOf(context), place);
                return false;
            }
            first = end;
            if constexpr (has_attribute)
                x3::traits::move_to(value, target);
            return true;
        }
    };

    std::string readWord(Iterator& place, Iterator last)
    {
        const Iterator start = place;
        place = std::find_if_not(place, last, isWordCharacter);
        return { start, place };
    }

    // A fixed word of the language.
    struct Keyword : Terminal<Keyword, x3::unused_type> {
        std::string_view word;
        explicit Keyword(std::string_view word)
            : word(word)
        {
        }
        bool match(Iterator& place, Iterator last, x3::unused_type&) const { return readWord(place, last) == this->word; }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const { tracker.recordExpectation(place, this->word, true); }
    };

    // A name that the operator chose.
    struct Name : Terminal<Name, std::string> {
        std::string_view description;
        explicit Name(std::string_view what)
            : description(what)
        {
        }
        bool match(Iterator& place, Iterator last, std::string& value) const
        {
            value = readWord(place, last);
            return isValidId(value);
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const
        {
            tracker.recordExpectation(place, this->description, false);
        }
    };

    // Reads digits, with a fraction if wanted. A sign, an exponent, "inf" and "nan" are not numbers of the language.
    bool readNumber(Iterator& place, Iterator last, double& value)
    {
        const std::string text = readWord(place, last);
        if (text.empty() || text.find_first_not_of("0123456789.") != std::string::npos)
            return false;
        const char* end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, value);
        return result.ec == std::errc() && result.ptr == end && std::isfinite(value);
    }

    // A whole number from a range.
    struct WholeNumber : Terminal<WholeNumber, uint64_t> {
        std::string_view description;
        uint64_t maxValue;
        WholeNumber(std::string_view what, uint64_t most)
            : description(what)
            , maxValue(most)
        {
        }
        bool match(Iterator& place, Iterator last, uint64_t& value) const
        {
            const std::string text = readWord(place, last);
            const char* end = text.data() + text.size();
            const auto result = std::from_chars(text.data(), end, value);
            return !text.empty() && result.ec == std::errc() && result.ptr == end && value <= this->maxValue;
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const
        {
            tracker.recordExpectation(place, this->description, false);
        }
    };

    // A number of at least 0.
    struct DecimalNumber : Terminal<DecimalNumber, double> {
        std::string_view description;
        explicit DecimalNumber(std::string_view what)
            : description(what)
        {
        }
        bool match(Iterator& place, Iterator last, double& value) const { return readNumber(place, last, value); }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const
        {
            tracker.recordExpectation(place, this->description, false);
        }
    };

    struct Endpoint {
        std::string address;
        uint16_t port = 0;
    };

    // 127.0.0.1:5001 or [::1]:5001.
    struct EndpointText : Terminal<EndpointText, Endpoint> {
        bool match(Iterator& place, Iterator last, Endpoint& value) const
        {
            const Iterator start = place;
            place = std::find_if(place, last, [](char character) { return character == ' ' || character == '\t' || character == ','; });
            const std::string text(start, place);
            const size_t colon = text.rfind(':');
            if (colon == std::string::npos)
                return false;
            value.address = text.substr(0, colon);
            if (value.address.starts_with('[') && value.address.ends_with(']'))
                value.address = value.address.substr(1, value.address.size() - 2);
            const char* end = text.data() + text.size();
            const auto result = std::from_chars(text.data() + colon + 1, end, value.port);
            return result.ec == std::errc() && result.ptr == end && value.port > 0 && isIpAddress(value.address);
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const
        {
            tracker.recordExpectation(place, "an address such as 127.0.0.1:5001", false);
        }
    };

    // A word, which may hold the '%' of a pattern, or any text in double quotes.
    bool readText(Iterator& place, Iterator last, std::string& value)
    {
        if (place == last || *place != '"') {
            const Iterator start = place;
            place = std::find_if_not(place, last, [](char character) { return character == '%' || isWordCharacter(character); });
            value.assign(start, place);
            return !value.empty();
        }
        const Iterator end = std::find(place + 1, last, '"');
        if (end == last)
            return false;
        value.assign(place + 1, end);
        place = end + 1;
        return true;
    }

    struct ComparisonOperator {
        std::string_view text;
        Comparison comparison;
        bool isWord;
    };

    // Longer signs come before their own beginnings.
    constexpr std::array<ComparisonOperator, 8> comparisonOperators { {
        { "!=", Comparison::NotEqual, false },
        { "<=", Comparison::LessOrEqual, false },
        { ">=", Comparison::GreaterOrEqual, false },
        { "=", Comparison::Equal, false },
        { "<", Comparison::Less, false },
        { ">", Comparison::Greater, false },
        { "like", Comparison::Like, true },
        { "contains", Comparison::Contains, true },
    } };

    // What the actions have read so far.
    struct ParseState {
        Command command;
        Query query;
        Condition condition;
        Service service;
        Database database;
        DatabaseId serverDatabase;
        BackendServer server;
        Organisation organisation;
        ChangeDatabase databaseChange;
        ChangeOrganisation organisationChange;
        ReplaceWitness witnessChange;
        VmAddress joiningWitness;
        std::optional<uint64_t> expectedVersion;

        ColumnKind conditionColumnKind() const { return columnsOf(this->query.table)[this->condition.columnIndex].kind; }
        void setChange(ChangeAction action) { this->command = ChangeCommand { std::move(action), {} }; }
    };

    // One of the tables.
    struct TableName : Terminal<TableName, QueryTable> {
        bool match(Iterator& place, Iterator last, QueryTable& value) const
        {
            const std::string word = readWord(place, last);
            for (size_t index = 0; index <= static_cast<size_t>(QueryTable::Configuration); ++index) {
                value = static_cast<QueryTable>(index);
                if (queryTableName(value) == word)
                    return true;
            }
            return false;
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const
        {
            for (size_t index = 0; index <= static_cast<size_t>(QueryTable::Configuration); ++index)
                tracker.recordExpectation(place, queryTableName(static_cast<QueryTable>(index)), true);
        }
    };

    // A column of the table that the query names.
    struct ColumnName : Terminal<ColumnName, size_t> {
        const ParseState* parseState;
        explicit ColumnName(const ParseState& draft)
            : parseState(&draft)
        {
        }
        bool match(Iterator& place, Iterator last, size_t& value) const
        {
            const std::string word = readWord(place, last);
            const auto& columns = columnsOf(this->parseState->query.table);
            const auto found = std::find_if(columns.begin(), columns.end(), [&word](const Column& column) { return column.name == word; });
            value = static_cast<size_t>(found - columns.begin());
            return found != columns.end();
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const
        {
            for (const Column& column : columnsOf(this->parseState->query.table))
                tracker.recordExpectation(place, column.name, true);
        }
    };

    // A comparison that the condition's column allows.
    struct ComparisonText : Terminal<ComparisonText, Comparison> {
        const ParseState* parseState;
        explicit ComparisonText(const ParseState& draft)
            : parseState(&draft)
        {
        }
        bool allows(const ComparisonOperator& sign) const
        {
            return !sign.isWord || this->parseState->conditionColumnKind() == ColumnKind::Text;
        }
        bool match(Iterator& place, Iterator last, Comparison& value) const
        {
            const std::string_view rest(place, last);
            for (const ComparisonOperator& sign : comparisonOperators) {
                if (!this->allows(sign) || !rest.starts_with(sign.text))
                    continue;
                const bool isCutShort = sign.isWord && rest.size() > sign.text.size() && isWordCharacter(rest[sign.text.size()]);
                if (isCutShort)
                    continue;
                place += static_cast<std::ptrdiff_t>(sign.text.size());
                value = sign.comparison;
                return true;
            }
            return false;
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const
        {
            for (const ComparisonOperator& sign : comparisonOperators) {
                if (this->allows(sign))
                    tracker.recordExpectation(place, sign.text, sign.isWord);
            }
        }
    };

    // A value of the kind of the condition's column.
    struct ConditionValue : Terminal<ConditionValue, Cell> {
        const ParseState* parseState;
        explicit ConditionValue(const ParseState& draft)
            : parseState(&draft)
        {
        }
        bool match(Iterator& place, Iterator last, Cell& value) const
        {
            if (this->parseState->conditionColumnKind() == ColumnKind::Number)
                return readNumber(place, last, value.emplace<double>());
            return readText(place, last, value.emplace<std::string>());
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const
        {
            const bool isNumber = this->parseState->conditionColumnKind() == ColumnKind::Number;
            tracker.recordExpectation(place, isNumber ? "a number" : "a word or a text in double quotes", false);
        }
    };

    struct Comma : Terminal<Comma, x3::unused_type> {
        bool match(Iterator& place, Iterator last, x3::unused_type&) const { return place != last && *place++ == ','; }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const { tracker.recordExpectation(place, "','", false); }
    };

    struct EndOfCommand : Terminal<EndOfCommand, x3::unused_type> {
        bool match(Iterator& place, Iterator last, x3::unused_type&) const { return place == last; }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator place) const
        {
            tracker.recordExpectation(place, "the end of the command", false);
        }
    };

    const Name organisationName { "the name of an organisation" };
    const Name databaseName { "the name of a database" };
    const Name serverName { "the name of a server" };
    const Name serviceName { "the name of a service" };
    const Name keyName { "the id of a key" };
    const Name vmName { "the id of a VM" };

    // An action that stores the attribute in a place, converted to the type of the place.
    template <typename Target> auto into(Target& target)
    {
        return [&target](auto& context) { target = static_cast<Target>(std::move(x3::_attr(context))); };
    }

    // An action that runs a function of the draft.
    template <typename Function> auto then(Function function)
    {
        return x3::eps[([function](auto&) { function(); })];
    }

    auto queryGrammar(ParseState& draft)
    {
        Query& query = draft.query;
        const auto condition = ColumnName(draft)[into(draft.condition.columnIndex)]
            >> ComparisonText(draft)[into(draft.condition.comparison)] >> ConditionValue(draft)[into(draft.condition.value)]
            >> then([&draft] { draft.query.conditions.push_back(draft.condition); });
        const auto orderColumn = ColumnName(draft)[([&query](auto& context) { query.ordering = Ordering { x3::_attr(context), false }; })];
        const auto descending = Keyword("desc") >> then([&query] { query.ordering->isDescending = true; });
        return Keyword("show") >> TableName()[into(query.table)] >> -(Keyword("where") >> condition >> *(Keyword("and") >> condition))
            >> -(Keyword("order") >> Keyword("by") >> orderColumn >> -(descending | Keyword("asc")))
            >> -(Keyword("limit") >> WholeNumber("a number of rows up to 1000000", 1000000)[into(query.limit)])
            >> then([&draft] { draft.command = draft.query; });
    }

    // NAME on DATABASE keyed [for ORGANISATIONS] | NAME on DATABASE open as ORGANISATION.
    auto serviceGrammar(ParseState& draft)
    {
        Service& service = draft.service;
        const auto addOrganisation = [&service](auto& context) { service.organisations.emplace_back(x3::_attr(context)); };
        const auto keyed = Keyword("keyed") >> then([&service] { service.access = ServiceAccess::Keyed; })
            >> -(Keyword("for") >> (organisationName[addOrganisation] % Comma()));
        const auto open = Keyword("open") >> then([&service] { service.access = ServiceAccess::Open; }) >> Keyword("as")
            >> organisationName[into(service.openOrganisation)];
        return Keyword("service") >> serviceName[into(service.name)] >> Keyword("on") >> databaseName[into(service.database)]
            >> (keyed | open);
    }

    auto endpointGrammar(std::string& address, uint16_t& port)
    {
        return Keyword("at") >> EndpointText()[([&address, &port](auto& context) {
            address = x3::_attr(context).address;
            port = x3::_attr(context).port;
        })];
    }

    auto declareGrammar(ParseState& draft)
    {
        Database& database = draft.database;
        const auto declareDatabase = Keyword("database") >> databaseName[into(database.id)] >> Keyword("slots")
            >> WholeNumber("a number of slots", UINT32_MAX)[into(database.slots)] >> Keyword("connections")
            >> WholeNumber("a number of connections", UINT32_MAX)[into(database.maxConnections)] >> then([&draft] {
                  draft.setChange(DeclareDatabase { draft.database.id, draft.database.slots, draft.database.maxConnections });
              });
        BackendServer& server = draft.server;
        const auto declareServer = Keyword("server") >> serverName[into(server.id)] >> Keyword("in")
            >> databaseName[into(draft.serverDatabase)] >> endpointGrammar(server.address, server.port) >> Keyword("region")
            >> Name("the name of a region")[into(server.region)] >> Keyword("data") >> Keyword("centre")
            >> Name("the name of a data centre")[into(server.dataCentre)] >> then([&draft] {
                  draft.setChange(DeclareServer { draft.serverDatabase, draft.server });
              });
        Organisation& organisation = draft.organisation;
        const auto declareOrganisation = Keyword("organisation") >> organisationName[into(organisation.id)] >> Keyword("rate")
            >> DecimalNumber("a number of requests per second")[into(organisation.rate)] >> Keyword("burst")
            >> DecimalNumber("a number of requests")[into(organisation.burst)]
            >> then([&draft] { draft.setChange(DeclareOrganisation { draft.organisation }); });
        const auto declareService = serviceGrammar(draft) >> then([&draft] { draft.setChange(DeclareService { draft.service }); });
        return Keyword("declare") >> (declareOrganisation | declareDatabase | declareServer | declareService);
    }

    auto changeGrammar(ParseState& draft)
    {
        ChangeOrganisation& limits = draft.organisationChange;
        const auto rate = Keyword("rate") >> DecimalNumber("a number of requests per second")[into(limits.rate)];
        const auto burst = Keyword("burst") >> DecimalNumber("a number of requests")[into(limits.burst)];
        const auto changeOrganisation = Keyword("organisation") >> organisationName[into(limits.id)] >> ((rate >> -burst) | burst)
            >> then([&draft] { draft.setChange(draft.organisationChange); });
        ChangeDatabase& caps = draft.databaseChange;
        const auto slots = Keyword("slots") >> WholeNumber("a number of slots", UINT32_MAX)[into(caps.slots)];
        const auto connections = Keyword("connections") >> WholeNumber("a number of connections", UINT32_MAX)[into(caps.maxConnections)];
        const auto changeDatabase = Keyword("database") >> databaseName[into(caps.id)] >> ((slots >> -connections) | connections)
            >> then([&draft] { draft.setChange(draft.databaseChange); });
        BackendServer& server = draft.server;
        const auto changeServer
            = Keyword("server") >> serverName[into(server.id)] >> endpointGrammar(server.address, server.port) >> then([&draft] {
                  draft.setChange(ChangeServer { draft.server.id, draft.server.address, draft.server.port });
              });
        const auto changeService = serviceGrammar(draft) >> then([&draft] { draft.setChange(ChangeService { draft.service }); });
        return Keyword("change") >> (changeOrganisation | changeDatabase | changeServer | changeService);
    }

    // An action that makes a change of the named thing, for changes that need nothing but a name.
    template <typename Change, typename Id> auto make(ParseState& draft)
    {
        return [&draft](auto& context) { draft.setChange(Change { Id(x3::_attr(context)) }); };
    }

    auto removeGrammar(ParseState& draft)
    {
        const auto witness = vmName[([&draft](auto& context) { draft.setChange(ReplaceWitness { VmId(x3::_attr(context)), {} }); })];
        return Keyword("remove") >> ((Keyword("organisation") >> organisationName[make<RemoveOrganisation, OrganisationId>(draft)])
                   | (Keyword("database") >> databaseName[make<RemoveDatabase, DatabaseId>(draft)])
                   | (Keyword("server") >> serverName[make<RemoveServer, BackendServerId>(draft)])
                   | (Keyword("service") >> serviceName[make<RemoveService, ServiceName>(draft)]) | (Keyword("witness") >> witness));
    }

    auto keyGrammar(ParseState& draft)
    {
        const auto issue = [&draft](auto& context) {
            draft.command = ChangeCommand { IssueKeyCommand { OrganisationId(x3::_attr(context)) }, {} };
        };
        return (Keyword("issue") >> Keyword("key") >> Keyword("for") >> organisationName[issue])
            | (Keyword("withdraw") >> Keyword("key") >> keyName[make<WithdrawKey, KeyId>(draft)]);
    }

    auto drainGrammar(ParseState& draft)
    {
        const auto drain = [&draft](bool draining) {
            return [&draft, draining](auto& context) { draft.setChange(DrainServer { BackendServerId(x3::_attr(context)), draining }); };
        };
        return (Keyword("drain") >> Keyword("server") >> serverName[drain(true)])
            | (Keyword("undrain") >> Keyword("server") >> serverName[drain(false)]);
    }

    auto witnessGrammar(ParseState& draft)
    {
        const auto joining = vmName[into(draft.joiningWitness.id)]
            >> endpointGrammar(draft.joiningWitness.address, draft.joiningWitness.peerPort) >> then([&draft] {
                  draft.witnessChange.joining = draft.joiningWitness;
                  draft.setChange(draft.witnessChange);
              });
        const auto leaving = vmName[([&draft](auto& context) { draft.witnessChange.leaving = VmId(x3::_attr(context)); })];
        return (Keyword("add") >> Keyword("witness") >> joining)
            | (Keyword("replace") >> Keyword("witness") >> leaving >> Keyword("with") >> joining)
            | (Keyword("settle") >> Keyword("witnesses") >> then([&draft] { draft.setChange(CompleteWitnessReplacement {}); }))
            | (Keyword("initialize") >> Keyword("fleet") >> then([&draft] {
                  draft.command = ChangeCommand { InitializeFleetCommand {}, {} };
              }));
    }

    auto otherGrammar(ParseState& draft)
    {
        const auto stop = [&draft](auto& context) { draft.command = StopVmCommand { VmId(x3::_attr(context)) }; };
        return (Keyword("stop") >> Keyword("vm") >> vmName[stop]) | (Keyword("help") >> then([&draft] { draft.command = HelpCommand {}; }));
    }

    auto commandGrammar(ParseState& draft)
    {
        const auto change = declareGrammar(draft) | changeGrammar(draft) | removeGrammar(draft) | keyGrammar(draft) | drainGrammar(draft)
            | witnessGrammar(draft);
        const auto condition = -(Keyword("if") >> Keyword("version") >> WholeNumber("a version", UINT64_MAX)[into(draft.expectedVersion)]);
        return (queryGrammar(draft) | (change >> condition) | otherGrammar(draft)) >> EndOfCommand();
    }

}

std::string CommandSyntaxError::message() const
{
    std::string text = "column " + std::to_string(this->column) + ": expected " + this->expected;
    if (!this->suggestion.empty())
        text += " (did you mean \"" + this->suggestion + "\"?)";
    return text;
}

CommandParseResult parseCommand(std::string_view text)
{
    if (text.size() > maxCommandLength)
        return boost::outcome_v2::failure(CommandSyntaxError { maxCommandLength + 1, "at most 4096 characters", {} });
    ParseState draft;
    SyntaxErrorTracker tracker(text);
    const auto grammar = x3::with<TrackerTag>(std::ref(tracker))[commandGrammar(draft)];
    Iterator place = text.begin();
    if (!x3::phrase_parse(place, text.end(), grammar, x3::char_(" \t\r\n")))
        return boost::outcome_v2::failure(tracker.syntaxError());
    if (auto* change = std::get_if<ChangeCommand>(&draft.command))
        change->expectedVersion = draft.expectedVersion;
    return std::move(draft.command);
}

std::string commandHelp()
{
    return "show organisations|databases|servers|services|keys|vms|witnesses|configuration\n"
           "    [where COLUMN =|!=|<|<=|>|>=|like|contains VALUE [and ...]] [order by COLUMN [asc|desc]] [limit N]\n"
           "declare organisation NAME rate R burst B\n"
           "declare database NAME slots N connections N\n"
           "declare server NAME in DATABASE at ADDRESS:PORT region NAME data centre NAME\n"
           "declare service NAME on DATABASE keyed [for ORGANISATION, ...]\n"
           "declare service NAME on DATABASE open as ORGANISATION\n"
           "change organisation NAME [rate R] [burst B]\n"
           "change database NAME [slots N] [connections N]\n"
           "change server NAME at ADDRESS:PORT\n"
           "change service NAME on DATABASE ...\n"
           "remove organisation|database|server|service NAME\n"
           "issue key for ORGANISATION\n"
           "withdraw key ID\n"
           "drain server NAME\n"
           "undrain server NAME\n"
           "add witness VM at ADDRESS:PORT\n"
           "replace witness VM with VM at ADDRESS:PORT\n"
           "remove witness VM\n"
           "settle witnesses\n"
           "initialize fleet\n"
           "Each change takes the suffix: if version N\n"
           "stop vm VM\n"
           "help\n";
}

}
