import test from "ava";
import { parseKnownRed } from "./parse_known_red.ts";

test("parseKnownRed() skips comments and empty lines", (t) => {
  const text =
    "# heading\n\nledger › runs once | npm test, seed 7 | ran twice | issue 4\n";
  t.deepEqual(parseKnownRed(text), [
    {
      title: "ledger › runs once",
      note: "npm test, seed 7 | ran twice | issue 4",
    },
  ]);
});
