import test from "ava";
import { replaceMarkedBlock } from "./replace_marked_block.ts";

test("replaceMarkedBlock() keeps the text outside the marks", (t) => {
  const page =
    "before\n<!-- figures: begin -->\nold\n<!-- figures: end -->\nafter";
  const replaced = replaceMarkedBlock(page, "new") ?? "";
  t.true(replaced.startsWith("before\n"));
  t.true(replaced.endsWith("\nafter"));
  t.true(replaced.includes("new"));
  t.false(replaced.includes("old"));
});

test("replaceMarkedBlock() returns undefined for a page without marks", (t) => {
  t.is(replaceMarkedBlock("text", "new"), undefined);
});
