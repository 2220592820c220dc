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
/** Written by the measurements, so a fresh checkout may lack one that was not run. */
const resultPages = measures.map(({ name }) =>
  join("docs", "measurements", `${name}.md`)
);

test("findLinks() leaves out other sites and parts of pages", (t) => {
  t.deepEqual(
    findLinks("[a](b.md#part) [c](https://example.org) [d](../e/)"),
    ["b.md", "../e/"],
  );
});

test("every link of the documents leads to a file", (t) => {
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
