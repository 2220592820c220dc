/** The slots that the configuration registers for the backend server in every run. */
export const registeredCapacity = { slots: 12, coldSlots: 2 } as const;
