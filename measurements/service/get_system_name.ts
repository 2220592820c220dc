/** Returns the name of a system in tables and charts. */
export function getSystemName(isBaseline: boolean): string {
  return isBaseline ? "baseline" : "nodes";
}
