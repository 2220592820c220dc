const rootPath = "(whole document)";

/** Returns a path such as `register.zones[2].name`. */
export function formatPath(path: readonly PropertyKey[]): string {
  if (path.length === 0) {
    return rootPath;
  }
  return path
    .map((key) => typeof key === "number" ? `[${key}]` : `.${String(key)}`)
    .join("")
    .replace(/^\./, "");
}
