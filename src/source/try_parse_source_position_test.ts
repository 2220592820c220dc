import test from "ava";
import fc from "fast-check";
import { formatSourcePosition } from "./format_source_position.ts";
import { tryParseSourcePosition } from "./try_parse_source_position.ts";

test("a formatted position is parsed back", (t) => {
  fc.assert(fc.property(fc.nat(), fc.nat(), (era, revision) => {
    const position = { era, revision };
    t.deepEqual(
      tryParseSourcePosition(formatSourcePosition(position)),
      position,
    );
  }));
});

["", "7", "1.", ".1", "1.-2", "1.2.3", "1.1e400", " 1.2", "NaN.1"].forEach(
  (text) =>
    test(`"${text}" is not a position`, (t) => {
      t.is(tryParseSourcePosition(text), undefined);
    }),
);
