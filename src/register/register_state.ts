import type { RegisterRecord } from "./register_record.ts";

/** This node's view of the register of backend servers, by identifier. Mutable. */
export type RegisterState = Map<string, RegisterRecord>;
