import type { Organisation } from "./organisation.ts";

/** The organisation that holds each key, by the key's hash. */
export type KeyIndex = Map<string, Organisation>;
