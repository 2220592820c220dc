const beginMark = "<!-- figures: begin -->";
const endMark = "<!-- figures: end -->";

/** Returns the page with the text between its two marks replaced, or undefined if a mark is missing. */
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
