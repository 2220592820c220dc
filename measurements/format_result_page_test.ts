import test from "ava";
import { formatResultPage } from "./format_result_page.ts";
import { TargetVerdict } from "./target_verdict.ts";

test("formatResultPage() includes command, seed, load, spread and verdict", (t) => {
  const page = formatResultPage({
    measure: {
      name: "example",
      title: "Example",
      question: "How long does it take?",
      baseline: "Nothing.",
      spread: "Lowest to highest of 3 runs.",
      run: () => Promise.reject(new TypeError("not run in this test")),
    },
    result: {
      tables: [{ title: "Figures", columns: ["a", "b"], rows: [["x", 1]] }],
      charts: [],
      targets: [{
        target: "11 s",
        measured: "2 s",
        verdict: TargetVerdict.Met,
      }],
      notes: ["The machine was busy."],
      data: {},
    },
    command: "npm run measure -- --only example",
    seed: 7,
    quick: false,
    loadBefore: 1.234,
    loadAfter: 5,
    processors: 10,
    startedAt: 0,
    endedAt: 1000,
  });
  const expected = [
    "`npm run measure -- --only example`",
    "| seed | 7 |",
    "1.23 and 5 on 10 processors",
    "Lowest to highest of 3 runs.",
    "| 11 s | 2 s | met |",
    "| x | 1 |",
    "- The machine was busy.",
  ];
  expected.forEach((text) => t.true(page.includes(text), text));
});
