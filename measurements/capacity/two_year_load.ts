/** The load that the users expect two years after the start: the "two-year size" of the pages. */
export const twoYearLoad = {
  nodes: 1200,
  zones: 15,
  callsPerSecond: 58_000,
  callDepth: 18,
  changesPerDay: 1100,
} as const;
