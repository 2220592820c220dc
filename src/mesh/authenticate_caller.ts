import { Result } from "true-myth";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import { identifyOrganisation } from "../organisations/identify_organisation.ts";
import { isConfirmationStale } from "../organisations/is_confirmation_stale.ts";
import type { Organisation } from "../organisations/organisation.ts";
import type { CallRoute } from "../routing/call_route.ts";
import { getRulesAgeMilliseconds } from "./get_rules_age_milliseconds.ts";
import { hasOrganisations } from "./has_organisations.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the organisation that a caller's key belongs to, undefined if the call
 * needs no key, or the reason to refuse the call.
 */
export function authenticateCaller(
  node: MeshNode,
  options: {
    readonly route: CallRoute;
    /** The key in the caller's request; undefined if there is none. */
    readonly key: string | undefined;
  },
): Result<Organisation | undefined, RefusalReason> {
  if (!hasOrganisations(node)) return Result.ok(undefined);
  const { isPublic } = options.route;
  // Without a key, a call to a public route needs no further check.
  if (isPublic && options.key === undefined) return Result.ok(undefined);
  const ageMilliseconds = getRulesAgeMilliseconds(node);
  const isStale = isConfirmationStale(
    ageMilliseconds,
    node.settings.sourceBounds,
  );
  if (isStale) reportStale(node, ageMilliseconds);
  return identifyOrganisation(options.key, {
    index: node.view.organisationsByKeyHash,
    isPublic,
    isStale,
  });
}

/** Reports once that calls with keys are refused until the rules are confirmed. */
function reportStale(node: MeshNode, ageMilliseconds: number): void {
  if (node.rulesConfirmation.isStaleReported) return;
  node.rulesConfirmation.isStaleReported = true;
  node.report.state("keys", {
    state: "unconfirmed",
    ...(Number.isFinite(ageMilliseconds)
      ? { ageMilliseconds: Math.round(ageMilliseconds) }
      : {}),
  });
}
