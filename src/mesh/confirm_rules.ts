import { isConfirmationStale } from "../organisations/is_confirmation_stale.ts";
import { recordConfirmation } from "../organisations/record_confirmation.ts";
import type { ClockReading } from "../runtime/clock_reading.ts";
import { getRulesAgeMilliseconds } from "./get_rules_age_milliseconds.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Records that the rules of a node were current at an instant. */
export function confirmRules(node: MeshNode, instant: ClockReading): void {
  const { rulesConfirmation, view, settings } = node;
  recordConfirmation(rulesConfirmation, instant, {
    heldUntil: view.heldZonesUntil,
  });
  if (!rulesConfirmation.isStaleReported) return;
  const ageMilliseconds = getRulesAgeMilliseconds(node);
  if (isConfirmationStale(ageMilliseconds, settings.sourceBounds)) return;
  rulesConfirmation.isStaleReported = false;
  node.report.state("keys", { state: "confirmed", ageMilliseconds });
}
