/** The slots of all backend servers that the register lists, by service. */
export type RegisteredSlots = ReadonlyMap<string, number>;
