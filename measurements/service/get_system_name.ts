/** Returns what tables and charts call a system. */
export function getSystemName(isBaseline: boolean): string {
  return isBaseline ? "baseline" : "nodes";
}
