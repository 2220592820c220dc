const linkPattern = /\]\(([^)#\s]+)(?:#[^)]*)?\)/g;
const externalPattern = /^[a-z]+:/;

/** Returns the relative paths that a Markdown text links to, without fragments; external URLs are omitted. */
export function findLinks(text: string): readonly string[] {
  return [...text.matchAll(linkPattern)]
    .map((found) => found[1] ?? "")
    .filter((path) => !externalPattern.test(path));
}
