import type { ConfigurationPart } from "../../src/configuration/configuration_part.ts";
import type { ConfigurationSet } from "../../src/configuration/configuration_set.ts";

/** Returns the parts of `next` that `previous` does not contain. */
export function findChangedParts(
  previous: ConfigurationSet,
  next: ConfigurationSet,
): readonly ConfigurationPart[] {
  return [...next.parts]
    .filter(([digest]) => !previous.parts.has(digest))
    .map(([, part]) => part);
}
