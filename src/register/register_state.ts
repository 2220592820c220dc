import type { RegisterRecord } from "./register_record.ts";

/** The register of backend servers as this node knows it, by identifier. */
export type RegisterState = Map<string, RegisterRecord>;
