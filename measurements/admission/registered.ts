/** What the configuration says of the backend server in every run. */
export const registered = { slots: 12, coldSlots: 2 } as const;
