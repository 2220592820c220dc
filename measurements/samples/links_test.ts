import test from "ava";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import { fileURLToPath } from "node:url";
import { measures } from "../measures.ts";
import { findLinks } from "./find_links.ts";

const root = fileURLToPath(new URL("../../../", import.meta.url));
const pages = [
  "README.md",
  ...readdirSync(join(root, "docs"), { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".md"))
    .map((name) => join("docs", name)),
];
/** Pages that the measurements write; a checkout may lack the page of a measure that was not run. */
const resultPages = measures.map(({ name }) =>
  join("docs", "measurements", `${name}.md`)
);

test("findLinks() omits external URLs and fragments", (t) => {
  t.deepEqual(
    findLinks("[a](b.md#part) [c](https://example.org) [d](../e/)"),
    ["b.md", "../e/"],
  );
});

test("every link in the documents points to an existing file", (t) => {
  const broken = pages.flatMap((page) =>
    findLinks(readFileSync(join(root, page), "utf8"))
      .map((link) => relative(root, join(root, dirname(page), link)))
      .filter((path) =>
        !resultPages.includes(path) && !existsSync(join(root, path))
      )
      .map((path) => `${page}: ${path}`)
  );
  t.deepEqual(broken, []);
});
