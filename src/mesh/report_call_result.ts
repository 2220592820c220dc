import { CallEventKind } from "./call_event_kind.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";
import { getSourceAvailableMilliseconds } from "./get_source_available_milliseconds.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Reports the response to a caller, with the version of the rules and the age
 * of the view that it is based on.
 */
export function reportCallResult(
  node: MeshNode,
  result: CallResult,
  options: {
    readonly callIdentifier: string;
    readonly receivedAt: number;
    /** Undefined if the call ended before its route was determined. */
    readonly plan: CallPlan | undefined;
  },
): void {
  const { plan } = options;
  const common = {
    call: options.callIdentifier,
    ...(plan === undefined ? {} : {
      route: plan.route.name,
      service: plan.service,
      ...(plan.isNested ? { nested: true } : {}),
    }),
    ...(plan?.organisation === undefined
      ? {}
      : { organisation: plan.organisation.name }),
    elapsedMilliseconds: Math.round(node.clock.now() - options.receivedAt),
    rulesVersion: plan?.rulesVersion ?? node.view.rules?.version ?? 0,
    sourceSoundMilliseconds: getSourceAvailableMilliseconds(node),
  };
  if (result.kind === CallResultKind.Answered) {
    const { status, backendServer } = result;
    const kind = CallEventKind.Answered;
    node.report.call({ kind, ...common, status, backendServer });
    return;
  }
  node.report.call({
    kind: CallEventKind.Refused,
    ...common,
    reason: result.reason,
    outcome: result.outcome,
    retryMilliseconds: Math.round(result.retryMilliseconds),
  });
}
