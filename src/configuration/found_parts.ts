import type { BasePart } from "./base_part.ts";
import type { ServicePart } from "./service_part.ts";

/** The parts of one whole version, by kind. */
export interface FoundParts {
  readonly base: BasePart;
  readonly services: readonly ServicePart[];
}
