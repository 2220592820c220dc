/** Statuses of replies to offers without an answer. */
export const offerStatuses = {
  refused: 503,
  lost: 502,
  invalid: 400,
} as const;
