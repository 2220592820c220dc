import type { ConfigurationPart } from "./configuration_part.ts";
import type { ConfigurationSet } from "./configuration_set.ts";

/**
 * Returns the parts that the set contains, in the order of its manifest;
 * missing parts are skipped.
 */
export function getAvailableParts(
  set: ConfigurationSet,
): readonly ConfigurationPart[] {
  return set.manifest.parts.flatMap(({ digest }) => {
    const part = set.parts.get(digest);
    return part === undefined ? [] : [part];
  });
}
