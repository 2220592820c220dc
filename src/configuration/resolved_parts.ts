import type { BasePart } from "./base_part.ts";
import type { ServicePart } from "./service_part.ts";

/** All parts of one version, grouped by kind. */
export interface ResolvedParts {
  readonly base: BasePart;
  readonly services: readonly ServicePart[];
}
