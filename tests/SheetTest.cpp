#include "include/sheet/Sheet.h"
#include "include/base/Random.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace arbutus;
using namespace arbutus::sheet;

static const std::string header = "kind,team,model,version,adapter,priority,weight,max_running,max_rate,upstreams,service,repeatable,layers\n";
static const std::string goodModel = "model,fiere,scriba,4.2,,8,1.5,32,25,large,,,48\n";
static const std::string goodService = "service,fiere,,,,,,8,5,,magazzino,no,\n";

static std::string readExample(const std::string& name)
{
    std::ifstream file(std::string(ARBUTUS_SOURCE_DIR) + "/examples/" + name);
    BOOST_REQUIRE(file.good());
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

static Sheet makeSheet(const std::string& csv)
{
    auto sheet = Sheet::Make(csv);
    BOOST_REQUIRE_MESSAGE(sheet.has_value(), (sheet.has_value() ? std::string() : sheet.error().detail));
    return std::move(sheet).value();
}

// Guards against invalid example sheets, and against wrong lookups and diffs.
BOOST_AUTO_TEST_CASE(ExampleSheetsAreValid)
{
    Sheet lacci = makeSheet(readExample("lacci.csv"));
    BOOST_TEST(lacci.teams().size() == 10U);
    BOOST_TEST(lacci.models().at("scriba") == 48U);
    const ModelRow* model = lacci.findModel("fiere", "scriba");
    BOOST_REQUIRE(model);
    BOOST_TEST(model->weight.value() == 3.0);
    const ServiceRow* service = lacci.findService("fiere", "magazzino");
    BOOST_REQUIRE(service);
    BOOST_TEST(!service->isRepeatable);
    BOOST_TEST(!lacci.findModel("fiere", "texto"));
    BOOST_TEST(!lacci.findService("nobody", "magazzino"));
    Sheet calhas = makeSheet(readExample("calhas.csv"));
    BOOST_TEST(calhas.teams().size() == 10U);

    auto deltas = lacci.diff(makeSheet(readExample("lacci-evening.csv")));
    BOOST_REQUIRE_EQUAL(deltas.size(), 1U);
    BOOST_TEST(toString(deltas[0]) == "changed: model,fiere,scriba,4.2,fiere-it,8,3,32,25,large,,,48 to model,fiere,scriba,4.3,fiere-it,9,3,32,25,large,,,48");
}

// Guards against validation that stops at the first invalid row, and against reports
// without the row, column or reason.
BOOST_AUTO_TEST_CASE(ReportsAllInvalidRows)
{
    std::vector<SheetProblem> problems;
    std::string csv = header + goodModel // 2
        + "model,fiere,scriba,4.2,,8,1.5,32,25,large,,,48\n" // 3: duplicate key
        + "model,b,scriba,4.2,,10,0,0,-1,large,,,47\n" // 4: priority, weight, limits
        + "model,c,scriba,4.2,,1,1.2345,1,1e3,large,x,,48\n" // 5: decimals, column of another kind
        + "service,d,,,,,,8,5,,magazzino,maybe,\n" // 6
        + "service,,,,,,,8,5,,magazzino,no,\n" // 7
        + "engine,e,,,,,,,,,,,\n" // 8
        + "model,f\n" // 9
        + "\n" // 10: blank, allowed
        + "model,g,scriba,4.2,,1,1,1,1,large,,,40\n"; // 11: other layer count
    auto sheet = Sheet::Make(csv, &problems);
    BOOST_REQUIRE(sheet.has_error());
    BOOST_TEST((sheet.error().kind == base::ErrorKind::SheetInvalid));
    std::string report;
    for (const auto& problem : problems)
        report += toString(problem) + "\n";
    BOOST_TEST(report == "row 3, column model: team fiere and model scriba already have row 2\n"
                         "row 4, column priority: '10' is not a whole number from 0 to 9\n"
                         "row 4, column weight: '0' is not a number above 0 with at most 3 decimals\n"
                         "row 4, column max_running: '0' is not a whole number from 1 to 1000000\n"
                         "row 4, column max_rate: '-1' is not a number above 0 with at most 3 decimals\n"
                         "row 5, column service: must be empty in a row of kind model\n"
                         "row 5, column weight: '1.2345' is not a number above 0 with at most 3 decimals\n"
                         "row 5, column max_rate: '1e3' is not a number above 0 with at most 3 decimals\n"
                         "row 6, column repeatable: 'maybe' is neither 'yes' nor 'no'\n"
                         "row 7, column team: must not be empty\n"
                         "row 8, column kind: 'engine' is neither 'model' nor 'service'\n"
                         "row 9: the row has 2 fields; the header has 13\n"
                         "row 11, column layers: model scriba has 40 layers here and 48 in row 2\n");
}

// Guards against malformed text that is accepted, or rejected without a precise reason.
BOOST_AUTO_TEST_CASE(ReportsReasonForMalformedText)
{
    const std::pair<std::string, std::string> cases[] = {
        { "", "the text has no header row" },
        { header + "model,\"fiere,scriba\n", "a quoted field is not closed" },
        { header + "model,fi\"ere,scriba\n", "misplaced quote at byte" },
        { header + "model,fi\xC3\xA9re,scriba,4.2,,8,1.5,32,25,large,,,48\n", "byte 3 of 'fi\\xC3\\xA9re' (0xC3) is not allowed" },
        { header + std::string("model,fi\0re,scriba,4.2,,8,1.5,32,25,large,,,48\n", 47), "byte 3 of 'fi\\x00re' (0x00) is not allowed" },
        { header + "model,\"fie\nre\",scriba,4.2,,8,1.5,32,25,large,,,48\n", "byte 4 of 'fie\\x0Are' (0x0A) is not allowed" },
        { header + "model," + std::string(1 << 20, 'x') + ",scriba,4.2,,8,1.5,32,25,large,,,48\n", "has 1048576 bytes; at most 64 are allowed" },
        { header + "model,fiere,scriba,4.2,,8,1.5," + std::string(100, '9') + ",25,large,,,48\n", "a field of 100 bytes is not a whole number" },
        { std::string(maxTextBytes + 1, 'x'), "the text has 3145729 bytes; at most 3145728 are allowed" },
        { "kind,team\nmodel,fiere\n", "row 1, column layers: the column is missing" },
        { "colour," + header, "column 1 is unknown: 'colour'" },
        { "team," + header, "row 1, column team: the column is given twice" },
    };
    for (const auto& [csv, reason] : cases) {
        auto sheet = Sheet::Make(csv);
        BOOST_REQUIRE(sheet.has_error());
        BOOST_TEST(sheet.error().detail.find(reason) != std::string::npos, "expected '" << reason << "' in: " << sheet.error().detail);
    }
}

// Guards against a digest that depends on row order, quoting or number format, and
// against row numbers that are shifted by CR LF line breaks or a byte order mark.
BOOST_AUTO_TEST_CASE(DigestIgnoresPresentation)
{
    Sheet sheet = makeSheet(header + goodModel + goodService);
    BOOST_TEST(makeSheet(header + goodService + "\n" + goodModel).digest() == sheet.digest());
    BOOST_TEST(makeSheet(header + "model,\"fiere\", scriba ,4.2,,8,1.500,32,25.0,large,,,48\n" + goodService).digest() == sheet.digest());
    BOOST_TEST(makeSheet(sheet.canonicalText()).digest() == sheet.digest());
    BOOST_TEST(makeSheet(header + goodModel).digest() != sheet.digest());

    std::string windows = "\xEF\xBB\xBF";
    for (char c : header + goodModel + "model,b\n")
        windows += c == '\n' ? std::string("\r\n") : std::string(1, c);
    std::vector<SheetProblem> problems;
    BOOST_TEST(Sheet::Make(windows, &problems).has_error());
    BOOST_REQUIRE_EQUAL(problems.size(), 1U);
    BOOST_TEST(problems[0].row == 3U);
}

// Guards against a diff that does not reproduce the other sheet exactly, and against
// deltas that are applied to a sheet they do not match. Random seed 7.
BOOST_AUTO_TEST_CASE(ApplyingDiffYieldsTheOtherSheet)
{
    base::Random random(7);
    auto randomSheet = [&random] {
        std::string csv = header;
        for (int team = 0; team < 12; ++team) {
            if (random.below(3))
                csv += fmt::format("model,t{},m{},v{},,{},1,4,1,large,,,8\n", team, team % 3, random.below(2), random.below(2));
            if (random.below(3))
                csv += fmt::format("service,t{},,,,,,4,1,,s,{},\n", team, random.below(2) ? "yes" : "no");
        }
        return makeSheet(csv);
    };
    for (int i = 0; i < 200; ++i) {
        Sheet left = randomSheet();
        Sheet right = randomSheet();
        auto deltas = left.diff(right);
        auto applied = left.apply(deltas);
        BOOST_REQUIRE(applied.has_value());
        BOOST_TEST(applied.value().digest() == right.digest());
        for (const auto& delta : deltas) {
            if (delta.after) {
                auto row = rowFromText(toText(*delta.after));
                BOOST_REQUIRE(row.has_value());
                BOOST_TEST((row.value() == *delta.after));
            }
        }
        if (!deltas.empty()) {
            auto twice = right.apply(deltas);
            BOOST_REQUIRE(twice.has_error());
            BOOST_TEST((twice.error().kind == base::ErrorKind::SheetConflict));
        }
    }
    ModelRow other { "x", "m1", "v", "", "large", { 1000 }, { 1000 }, 1, 1, 9 };
    auto mixed = makeSheet(header + "model,t,m1,v,,1,1,4,1,large,,,8\n").apply({ { std::nullopt, other } });
    BOOST_REQUIRE(mixed.has_error());
    BOOST_TEST((mixed.error().kind == base::ErrorKind::SheetInvalid));
}

// Guards against crashes and hangs on randomly edited sheets. Random seed 11.
BOOST_AUTO_TEST_CASE(ParserSurvivesRandomEdits)
{
    base::Random random(11);
    std::string valid = header + goodModel + goodService;
    for (int i = 0; i < 5000; ++i) {
        std::string csv = valid;
        for (std::uint64_t edits = 1 + random.below(6); edits; --edits) {
            std::size_t at = random.below(csv.size());
            if (random.below(2))
                csv[at] = static_cast<char>(random.below(256));
            else
                csv.insert(at, 1, "\",\n\r"[random.below(4)]);
        }
        auto sheet = Sheet::Make(csv);
        if (sheet.has_value())
            BOOST_TEST(makeSheet(sheet.value().canonicalText()).digest() == sheet.value().digest());
        else
            BOOST_TEST(!sheet.error().detail.empty());
    }
}
