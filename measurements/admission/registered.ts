/** The slots that the configuration registers for the backend server in every run. */
export const registered = { slots: 12, coldSlots: 2 } as const;
