/** Upper limits on the size and the fields of a configuration document. */
export const configurationLimits = {
  maxBytes: 1_048_576,
  maxNameCharacters: 100,
  maxPathPrefixCharacters: 1024,
  maxDeadlineMilliseconds: 600_000,
  maxSlots: 100_000,
  maxConnections: 1_000_000,
  maxRetryBudgetPercent: 100,
} as const;
