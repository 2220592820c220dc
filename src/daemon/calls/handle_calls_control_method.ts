import { CallsControlMethod } from "../../calls/calls_control_method.ts";
import { encodeKeySettlement } from "../../calls/encode_key_settlement.ts";
import { encodeSettlement } from "../../calls/encode_settlement.ts";
import type { Settlement } from "../../calls/settlement.ts";
import { settleCallSchema } from "../../calls/settle_call_schema.ts";
import { SettlementKind } from "../../calls/settlement_kind.ts";
import { settleKeySchema } from "../../calls/settle_key_schema.ts";
import type { CallsNode } from "./calls_node.ts";

/** Handles the control methods of calls and returns their result; throws if the parameters are invalid. */
export function handleCallsControlMethod(
  node: CallsNode,
  method: string,
  parameters: unknown,
): unknown {
  if (method === CallsControlMethod.SettleCall) {
    const { attemptIdentifier, deadline } = settleCallSchema.parse(parameters);
    return encodeSettlement(
      handleCallQuery(node, attemptIdentifier, { deadline }),
    );
  }
  const { service, key, backendServer, by } = settleKeySchema.parse(parameters);
  return encodeKeySettlement(
    backendServer === node.options.settings.backendServer?.name
      ? node.ledger.handleKeyQuery({ service, key }, by)
      : { kind: SettlementKind.Unknown },
  );
}

/** Returns the outcome of an attempt. An attempt that has not arrived is fenced until its deadline, so that it will not run. */
function handleCallQuery(
  node: CallsNode,
  attemptIdentifier: string,
  options: { readonly deadline: number },
): Settlement {
  const { clock } = node.options.environment;
  const now = clock.now();
  const dispatch = node.dispatches.get(attemptIdentifier);
  if (dispatch !== undefined) {
    dispatch.onOutcomeQueried();
    return { kind: SettlementKind.Running };
  }
  const recordedOutcome = node.records.get(attemptIdentifier, now);
  if (recordedOutcome !== undefined) {
    return recordedOutcome;
  }
  const fence: Settlement = { kind: SettlementKind.NotRun };
  node.records.sweep(now);
  node.records.set(
    attemptIdentifier,
    fence,
    options.deadline +
      node.options.settings.timing.clockSkewMilliseconds,
  );
  return fence;
}
