const beginMark = "<!-- figures: begin -->";
const endMark = "<!-- figures: end -->";

/** Replaces what stands between the marks of a page; undefined where the page lacks a mark. */
export function replaceMarkedBlock(
  page: string,
  block: string,
): string | undefined {
  const begin = page.indexOf(beginMark);
  const end = page.indexOf(endMark);
  return begin === -1 || end < begin
    ? undefined
    : `${page.slice(0, begin)}${beginMark}\n\n${block}\n\n${page.slice(end)}`;
}
