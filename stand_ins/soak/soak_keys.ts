/** Keys and names of the organisations in the rules of a soak. */
export const soakKeys = {
  /** Name of the organisation whose key every version has. */
  lastingOrganisation: "school",
  lasting: "school-key",
  /** Name of the organisation whose keys change with each version. */
  changingOrganisation: "bakery",
  /** Returns the key that a version adds. The second version after it withdraws the key. */
  ofVersion: (version: number): string => `bakery-key-${version}`,
} as const;
