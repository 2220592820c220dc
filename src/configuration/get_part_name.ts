import { match } from "ts-pattern";
import { basePartName } from "./base_part_name.ts";
import type { ConfigurationPart } from "./configuration_part.ts";
import { getServicePartName } from "./get_service_part_name.ts";
import { PartKind } from "./part_kind.ts";

/** Returns the name under which a manifest lists the part. */
export function getPartName(part: ConfigurationPart): string {
  return match(part)
    .with({ kind: PartKind.Base }, () => basePartName)
    .with(
      { kind: PartKind.Service },
      ({ service }) => getServicePartName(service),
    )
    .exhaustive();
}
