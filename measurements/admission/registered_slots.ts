/** What the configuration says of the backend server in every run. */
export const registeredSlots = { slots: 12, coldSlots: 2 } as const;
