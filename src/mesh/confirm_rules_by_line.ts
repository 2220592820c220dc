import { getConfirmationAge } from "../organisations/get_confirmation_age.ts";
import { getLineConfirmation } from "../organisations/get_line_confirmation.ts";
import { isFeedRenewalDue } from "../organisations/is_feed_renewal_due.ts";
import type { ClockReading } from "../runtime/clock_reading.ts";
import { FeedEndKind } from "../source/feed_end_kind.ts";
import type { FeedLine } from "../source/feed_line.ts";
import { confirmRules } from "./confirm_rules.ts";
import { hasOrganisations } from "./has_organisations.ts";
import type { MeshNode } from "./mesh_node.ts";
import { readClocks } from "./read_clocks.ts";

/**
 * Records how current the rules are after a line of a neighbour's feed was
 * applied. Returns the reason if the feed has to end, since the node has to read
 * the source itself to know it.
 */
export function confirmRulesByLine(
  node: MeshNode,
  line: FeedLine,
  feed: { readonly requestedAt: ClockReading; readonly firstSentAt: number },
): FeedEndKind | undefined {
  const { withdrawalMilliseconds } = node.settings.sourceBounds;
  if (withdrawalMilliseconds === undefined) return undefined;
  const confirmedAt = getLineConfirmation(line, feed);
  if (confirmedAt !== undefined) confirmRules(node, confirmedAt);
  const now = readClocks(node);
  const isHeld = now.monotonic <
    Math.max(node.view.heldZonesUntil, node.rulesConfirmation.heldUntil);
  if (isHeld || !hasOrganisations(node)) return undefined;
  const isDue = isFeedRenewalDue({
    feedMilliseconds: now.monotonic - feed.requestedAt.monotonic,
    ageMilliseconds: getConfirmationAge(node.rulesConfirmation, now),
    withdrawalMilliseconds,
  });
  return isDue ? FeedEndKind.Renewed : undefined;
}
