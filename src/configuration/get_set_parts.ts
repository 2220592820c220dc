import type { ConfigurationPart } from "./configuration_part.ts";
import type { ConfigurationSet } from "./configuration_set.ts";

/** Returns the parts that are there, in the order of the manifest. */
export function getSetParts(
  set: ConfigurationSet,
): readonly ConfigurationPart[] {
  return set.manifest.parts.flatMap(({ digest }) => {
    const part = set.parts.get(digest);
    return part === undefined ? [] : [part];
  });
}
