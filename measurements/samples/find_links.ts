const linkPattern = /\]\(([^)#\s]+)(?:#[^)]*)?\)/g;
const externalPattern = /^[a-z]+:/;

/** Returns the paths that the links of a Markdown text lead to, without those to other sites. */
export function findLinks(text: string): readonly string[] {
  return [...text.matchAll(linkPattern)]
    .map((found) => found[1] ?? "")
    .filter((path) => !externalPattern.test(path));
}
