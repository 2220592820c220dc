import type { BasePart } from "./base_part.ts";
import type { ServicePart } from "./service_part.ts";

/** One part of a configuration, identified by the digest of its content. */
export type ConfigurationPart = BasePart | ServicePart;
