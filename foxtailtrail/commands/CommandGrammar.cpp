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

    // Records the furthest position at which a terminal failed to match, and the terminals that were expected there.
    class SyntaxErrorTracker {
    public:
        explicit SyntaxErrorTracker(std::string_view text)
            : text(text)
            , furthestPosition(text.begin())
        {
        }

        void recordExpectation(Iterator position, std::string_view expected, bool isWord)
        {
            if (position < this->furthestPosition)
                return;
            if (position > this->furthestPosition) {
                this->furthestPosition = position;
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
            const auto isLeadingByte = [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0) != 0x80; };
            const auto precedingCharacters = std::count_if(this->text.begin(), this->furthestPosition, isLeadingByte);
            const std::string found(this->furthestPosition, std::find_if_not(this->furthestPosition, this->text.end(), isWordCharacter));
            return { static_cast<size_t>(precedingCharacters) + 1, this->expectedText(),
                nearestWord(found, this->expectedWords).value_or("") };
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

    // Base class of the terminal parsers. Skips whitespace, calls match() of the derived class, and records the expected terminal if it
    // does not match.
    template <typename Derived, typename Attribute> struct Terminal : x3::parser<Derived> {
        // NOLINTBEGIN(readability-identifier-naming): Spirit X3 prescribes these names.
        using attribute_type = Attribute;
        static constexpr bool has_attribute = !std::is_same_v<Attribute, x3::unused_type>;
        // NOLINTEND(readability-identifier-naming)

        template <typename Context, typename RuleContext, typename Target>
        bool parse(Iterator& first, const Iterator& last, const Context& context, RuleContext&, Target& target) const
        {
            Iterator position = first;
            x3::skip_over(position, last, context);
            Attribute value {};
            Iterator end = position;
            if (!this->derived().match(end, last, value)) {
                this->derived().recordExpected(trackerOf(context), position);
                return false;
            }
            first = end;
            if constexpr (has_attribute)
                x3::traits::move_to(value, target);
            return true;
        }
    };

    std::string scanWord(Iterator& position, Iterator last)
    {
        const Iterator start = position;
        position = std::find_if_not(position, last, isWordCharacter);
        return { start, position };
    }

    // A keyword of the command language.
    struct Keyword : Terminal<Keyword, x3::unused_type> {
        std::string_view word;
        explicit Keyword(std::string_view word)
            : word(word)
        {
        }
        bool match(Iterator& position, Iterator last, x3::unused_type&) const { return scanWord(position, last) == this->word; }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const { tracker.recordExpectation(position, this->word, true); }
    };

    // A name or an id that the operator enters. It must be a valid id.
    struct Name : Terminal<Name, std::string> {
        std::string_view description;
        explicit Name(std::string_view valueDescription)
            : description(valueDescription)
        {
        }
        bool match(Iterator& position, Iterator last, std::string& value) const
        {
            value = scanWord(position, last);
            return isValidId(value);
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const
        {
            tracker.recordExpectation(position, this->description, false);
        }
    };

    // Parses decimal digits with an optional fraction. The command language has no signs, exponents, "inf" or "nan".
    bool scanNumber(Iterator& position, Iterator last, double& value)
    {
        const std::string text = scanWord(position, last);
        if (text.empty() || text.find_first_not_of("0123456789.") != std::string::npos)
            return false;
        const char* end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, value);
        return result.ec == std::errc() && result.ptr == end && std::isfinite(value);
    }

    // A whole number from 0 to a maximum value.
    struct WholeNumber : Terminal<WholeNumber, uint64_t> {
        std::string_view description;
        uint64_t maxValue;
        WholeNumber(std::string_view valueDescription, uint64_t maximum)
            : description(valueDescription)
            , maxValue(maximum)
        {
        }
        bool match(Iterator& position, Iterator last, uint64_t& value) const
        {
            const std::string text = scanWord(position, last);
            const char* end = text.data() + text.size();
            const auto result = std::from_chars(text.data(), end, value);
            return !text.empty() && result.ec == std::errc() && result.ptr == end && value <= this->maxValue;
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const
        {
            tracker.recordExpectation(position, this->description, false);
        }
    };

    // A non-negative decimal number.
    struct DecimalNumber : Terminal<DecimalNumber, double> {
        std::string_view description;
        explicit DecimalNumber(std::string_view valueDescription)
            : description(valueDescription)
        {
        }
        bool match(Iterator& position, Iterator last, double& value) const { return scanNumber(position, last, value); }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const
        {
            tracker.recordExpectation(position, this->description, false);
        }
    };

    struct Endpoint {
        std::string address;
        uint16_t port = 0;
    };

    // An IP address with a port, such as 127.0.0.1:5001 or [::1]:5001.
    struct EndpointText : Terminal<EndpointText, Endpoint> {
        bool match(Iterator& position, Iterator last, Endpoint& value) const
        {
            const Iterator start = position;
            position
                = std::find_if(position, last, [](char character) { return character == ' ' || character == '\t' || character == ','; });
            const std::string text(start, position);
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
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const
        {
            tracker.recordExpectation(position, "an address such as 127.0.0.1:5001", false);
        }
    };

    // Parses a word, which may contain the wildcard '%', or any text in double quotes.
    bool scanText(Iterator& position, Iterator last, std::string& value)
    {
        if (position == last || *position != '"') {
            const Iterator start = position;
            position = std::find_if_not(position, last, [](char character) { return character == '%' || isWordCharacter(character); });
            value.assign(start, position);
            return !value.empty();
        }
        const Iterator end = std::find(position + 1, last, '"');
        if (end == last)
            return false;
        value.assign(position + 1, end);
        position = end + 1;
        return true;
    }

    struct ComparisonOperator {
        std::string_view text;
        Comparison comparison;
        bool isWord;
    };

    // An operator comes before any operator that is a prefix of it, since the first match is taken.
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

    // The values that the semantic actions have stored so far.
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

    // The name of a table.
    struct TableName : Terminal<TableName, QueryTable> {
        bool match(Iterator& position, Iterator last, QueryTable& value) const
        {
            const std::string word = scanWord(position, last);
            for (size_t index = 0; index <= static_cast<size_t>(QueryTable::Configuration); ++index) {
                value = static_cast<QueryTable>(index);
                if (queryTableName(value) == word)
                    return true;
            }
            return false;
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const
        {
            for (size_t index = 0; index <= static_cast<size_t>(QueryTable::Configuration); ++index)
                tracker.recordExpectation(position, queryTableName(static_cast<QueryTable>(index)), true);
        }
    };

    // The name of a column of the query's table.
    struct ColumnName : Terminal<ColumnName, size_t> {
        const ParseState* parseState;
        explicit ColumnName(const ParseState& state)
            : parseState(&state)
        {
        }
        bool match(Iterator& position, Iterator last, size_t& value) const
        {
            const std::string word = scanWord(position, last);
            const auto& columns = columnsOf(this->parseState->query.table);
            const auto found = std::find_if(columns.begin(), columns.end(), [&word](const Column& column) { return column.name == word; });
            value = static_cast<size_t>(found - columns.begin());
            return found != columns.end();
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const
        {
            for (const Column& column : columnsOf(this->parseState->query.table))
                tracker.recordExpectation(position, column.name, true);
        }
    };

    // A comparison operator that the kind of the condition's column allows.
    struct ComparisonText : Terminal<ComparisonText, Comparison> {
        const ParseState* parseState;
        explicit ComparisonText(const ParseState& state)
            : parseState(&state)
        {
        }
        bool allows(const ComparisonOperator& comparisonOperator) const
        {
            return !comparisonOperator.isWord || this->parseState->conditionColumnKind() == ColumnKind::Text;
        }
        bool match(Iterator& position, Iterator last, Comparison& value) const
        {
            const std::string_view rest(position, last);
            for (const ComparisonOperator& comparisonOperator : comparisonOperators) {
                if (!this->allows(comparisonOperator) || !rest.starts_with(comparisonOperator.text))
                    continue;
                const bool isPrefixOfLongerWord = comparisonOperator.isWord && rest.size() > comparisonOperator.text.size()
                    && isWordCharacter(rest[comparisonOperator.text.size()]);
                if (isPrefixOfLongerWord)
                    continue;
                position += static_cast<std::ptrdiff_t>(comparisonOperator.text.size());
                value = comparisonOperator.comparison;
                return true;
            }
            return false;
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const
        {
            for (const ComparisonOperator& comparisonOperator : comparisonOperators) {
                if (this->allows(comparisonOperator))
                    tracker.recordExpectation(position, comparisonOperator.text, comparisonOperator.isWord);
            }
        }
    };

    // A value of the same kind as the condition's column.
    struct ConditionValue : Terminal<ConditionValue, Cell> {
        const ParseState* parseState;
        explicit ConditionValue(const ParseState& state)
            : parseState(&state)
        {
        }
        bool match(Iterator& position, Iterator last, Cell& value) const
        {
            if (this->parseState->conditionColumnKind() == ColumnKind::Number)
                return scanNumber(position, last, value.emplace<double>());
            return scanText(position, last, value.emplace<std::string>());
        }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const
        {
            const bool isNumber = this->parseState->conditionColumnKind() == ColumnKind::Number;
            tracker.recordExpectation(position, isNumber ? "a number" : "a word or a text in double quotes", false);
        }
    };

    struct Comma : Terminal<Comma, x3::unused_type> {
        bool match(Iterator& position, Iterator last, x3::unused_type&) const { return position != last && *position++ == ','; }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const { tracker.recordExpectation(position, "','", false); }
    };

    struct EndOfCommand : Terminal<EndOfCommand, x3::unused_type> {
        bool match(Iterator& position, Iterator last, x3::unused_type&) const { return position == last; }
        void recordExpected(SyntaxErrorTracker& tracker, Iterator position) const
        {
            tracker.recordExpectation(position, "the end of the command", false);
        }
    };

    const Name organisationName { "the name of an organisation" };
    const Name databaseName { "the name of a database" };
    const Name serverName { "the name of a server" };
    const Name serviceName { "the name of a service" };
    const Name keyName { "the id of a key" };
    const Name vmName { "the id of a VM" };

    // Returns a semantic action that converts the attribute to the type of a target and stores it there.
    template <typename Target> auto assignTo(Target& target)
    {
        return [&target](auto& context) { target = static_cast<Target>(std::move(x3::_attr(context))); };
    }

    // Returns a parser that matches the empty text and calls a function.
    template <typename Function> auto runAction(Function function)
    {
        return x3::eps[([function](auto&) { function(); })];
    }

    auto queryGrammar(ParseState& state)
    {
        Query& query = state.query;
        const auto condition = ColumnName(state)[assignTo(state.condition.columnIndex)]
            >> ComparisonText(state)[assignTo(state.condition.comparison)] >> ConditionValue(state)[assignTo(state.condition.value)]
            >> runAction([&state] { state.query.conditions.push_back(state.condition); });
        const auto orderColumn = ColumnName(state)[([&query](auto& context) { query.ordering = Ordering { x3::_attr(context), false }; })];
        const auto descending = Keyword("desc") >> runAction([&query] { query.ordering->isDescending = true; });
        return Keyword("show") >> TableName()[assignTo(query.table)] >> -(Keyword("where") >> condition >> *(Keyword("and") >> condition))
            >> -(Keyword("order") >> Keyword("by") >> orderColumn >> -(descending | Keyword("asc")))
            >> -(Keyword("limit") >> WholeNumber("a number of rows up to 1000000", 1000000)[assignTo(query.limit)])
            >> runAction([&state] { state.command = state.query; });
    }

    // service NAME on DATABASE keyed [for ORGANISATIONS] | service NAME on DATABASE open as ORGANISATION
    auto serviceGrammar(ParseState& state)
    {
        Service& service = state.service;
        const auto addOrganisation = [&service](auto& context) { service.organisations.emplace_back(x3::_attr(context)); };
        const auto keyed = Keyword("keyed") >> runAction([&service] { service.access = ServiceAccess::Keyed; })
            >> -(Keyword("for") >> (organisationName[addOrganisation] % Comma()));
        const auto open = Keyword("open") >> runAction([&service] { service.access = ServiceAccess::Open; }) >> Keyword("as")
            >> organisationName[assignTo(service.openOrganisation)];
        return Keyword("service") >> serviceName[assignTo(service.name)] >> Keyword("on") >> databaseName[assignTo(service.database)]
            >> (keyed | open);
    }

    auto endpointGrammar(std::string& address, uint16_t& port)
    {
        return Keyword("at") >> EndpointText()[([&address, &port](auto& context) {
            address = x3::_attr(context).address;
            port = x3::_attr(context).port;
        })];
    }

    auto declareGrammar(ParseState& state)
    {
        Database& database = state.database;
        const auto declareDatabase = Keyword("database") >> databaseName[assignTo(database.id)] >> Keyword("slots")
            >> WholeNumber("a number of slots", UINT32_MAX)[assignTo(database.slots)] >> Keyword("connections")
            >> WholeNumber("a number of connections", UINT32_MAX)[assignTo(database.maxConnections)] >> runAction([&state] {
                  state.setChange(DeclareDatabase { state.database.id, state.database.slots, state.database.maxConnections });
              });
        BackendServer& server = state.server;
        const auto declareServer = Keyword("server") >> serverName[assignTo(server.id)] >> Keyword("in")
            >> databaseName[assignTo(state.serverDatabase)] >> endpointGrammar(server.address, server.port) >> Keyword("region")
            >> Name("the name of a region")[assignTo(server.region)] >> Keyword("data") >> Keyword("centre")
            >> Name("the name of a data centre")[assignTo(server.dataCentre)] >> runAction([&state] {
                  state.setChange(DeclareServer { state.serverDatabase, state.server });
              });
        Organisation& organisation = state.organisation;
        const auto declareOrganisation = Keyword("organisation") >> organisationName[assignTo(organisation.id)] >> Keyword("rate")
            >> DecimalNumber("a number of requests per second")[assignTo(organisation.rate)] >> Keyword("burst")
            >> DecimalNumber("a number of requests")[assignTo(organisation.burst)]
            >> runAction([&state] { state.setChange(DeclareOrganisation { state.organisation }); });
        const auto declareService = serviceGrammar(state) >> runAction([&state] { state.setChange(DeclareService { state.service }); });
        return Keyword("declare") >> (declareOrganisation | declareDatabase | declareServer | declareService);
    }

    auto changeGrammar(ParseState& state)
    {
        ChangeOrganisation& organisationLimits = state.organisationChange;
        const auto rate = Keyword("rate") >> DecimalNumber("a number of requests per second")[assignTo(organisationLimits.rate)];
        const auto burst = Keyword("burst") >> DecimalNumber("a number of requests")[assignTo(organisationLimits.burst)];
        const auto changeOrganisation = Keyword("organisation") >> organisationName[assignTo(organisationLimits.id)]
            >> ((rate >> -burst) | burst) >> runAction([&state] { state.setChange(state.organisationChange); });
        ChangeDatabase& databaseLimits = state.databaseChange;
        const auto slots = Keyword("slots") >> WholeNumber("a number of slots", UINT32_MAX)[assignTo(databaseLimits.slots)];
        const auto connections
            = Keyword("connections") >> WholeNumber("a number of connections", UINT32_MAX)[assignTo(databaseLimits.maxConnections)];
        const auto changeDatabase = Keyword("database") >> databaseName[assignTo(databaseLimits.id)]
            >> ((slots >> -connections) | connections) >> runAction([&state] { state.setChange(state.databaseChange); });
        BackendServer& server = state.server;
        const auto changeServer
            = Keyword("server") >> serverName[assignTo(server.id)] >> endpointGrammar(server.address, server.port) >> runAction([&state] {
                  state.setChange(ChangeServer { state.server.id, state.server.address, state.server.port });
              });
        const auto changeService = serviceGrammar(state) >> runAction([&state] { state.setChange(ChangeService { state.service }); });
        return Keyword("change") >> (changeOrganisation | changeDatabase | changeServer | changeService);
    }

    // Returns a semantic action that sets a change whose only parameter is a name.
    template <typename Change, typename Id> auto setNamedChange(ParseState& state)
    {
        return [&state](auto& context) { state.setChange(Change { Id(x3::_attr(context)) }); };
    }

    auto removeGrammar(ParseState& state)
    {
        const auto witness = vmName[([&state](auto& context) { state.setChange(ReplaceWitness { VmId(x3::_attr(context)), {} }); })];
        return Keyword("remove")
            >> ((Keyword("organisation") >> organisationName[setNamedChange<RemoveOrganisation, OrganisationId>(state)])
                | (Keyword("database") >> databaseName[setNamedChange<RemoveDatabase, DatabaseId>(state)])
                | (Keyword("server") >> serverName[setNamedChange<RemoveServer, BackendServerId>(state)])
                | (Keyword("service") >> serviceName[setNamedChange<RemoveService, ServiceName>(state)]) | (Keyword("witness") >> witness));
    }

    auto keyGrammar(ParseState& state)
    {
        const auto issue = [&state](auto& context) {
            state.command = ChangeCommand { IssueKeyCommand { OrganisationId(x3::_attr(context)) }, {} };
        };
        return (Keyword("issue") >> Keyword("key") >> Keyword("for") >> organisationName[issue])
            | (Keyword("withdraw") >> Keyword("key") >> keyName[setNamedChange<WithdrawKey, KeyId>(state)]);
    }

    auto drainGrammar(ParseState& state)
    {
        const auto drain = [&state](bool isDraining) {
            return [&state, isDraining](auto& context) {
                state.setChange(DrainServer { BackendServerId(x3::_attr(context)), isDraining });
            };
        };
        return (Keyword("drain") >> Keyword("server") >> serverName[drain(true)])
            | (Keyword("undrain") >> Keyword("server") >> serverName[drain(false)]);
    }

    auto witnessGrammar(ParseState& state)
    {
        const auto joining = vmName[assignTo(state.joiningWitness.id)]
            >> endpointGrammar(state.joiningWitness.address, state.joiningWitness.peerPort) >> runAction([&state] {
                  state.witnessChange.joining = state.joiningWitness;
                  state.setChange(state.witnessChange);
              });
        const auto leaving = vmName[([&state](auto& context) { state.witnessChange.leaving = VmId(x3::_attr(context)); })];
        return (Keyword("add") >> Keyword("witness") >> joining)
            | (Keyword("replace") >> Keyword("witness") >> leaving >> Keyword("with") >> joining)
            | (Keyword("settle") >> Keyword("witnesses") >> runAction([&state] { state.setChange(CompleteWitnessReplacement {}); }))
            | (Keyword("initialize") >> Keyword("fleet") >> runAction([&state] {
                  state.command = ChangeCommand { InitializeFleetCommand {}, {} };
              }));
    }

    auto otherGrammar(ParseState& state)
    {
        const auto stop = [&state](auto& context) { state.command = StopVmCommand { VmId(x3::_attr(context)) }; };
        return (Keyword("stop") >> Keyword("vm") >> vmName[stop])
            | (Keyword("help") >> runAction([&state] { state.command = HelpCommand {}; }));
    }

    auto commandGrammar(ParseState& state)
    {
        const auto change = declareGrammar(state) | changeGrammar(state) | removeGrammar(state) | keyGrammar(state) | drainGrammar(state)
            | witnessGrammar(state);
        const auto versionSuffix
            = -(Keyword("if") >> Keyword("version") >> WholeNumber("a version", UINT64_MAX)[assignTo(state.expectedVersion)]);
        return (queryGrammar(state) | (change >> versionSuffix) | otherGrammar(state)) >> EndOfCommand();
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
        return boost::outcome_v2::failure(CommandSyntaxError { maxCommandLength + 1, "at most 4096 bytes", {} });
    ParseState state;
    SyntaxErrorTracker tracker(text);
    const auto grammar = x3::with<TrackerTag>(std::ref(tracker))[commandGrammar(state)];
    Iterator position = text.begin();
    if (!x3::phrase_parse(position, text.end(), grammar, x3::char_(" \t\r\n")))
        return boost::outcome_v2::failure(tracker.syntaxError());
    if (auto* change = std::get_if<ChangeCommand>(&state.command))
        change->expectedVersion = state.expectedVersion;
    return std::move(state.command);
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
