import { CallsControlMethod } from "../../calls/calls_control_method.ts";
import { decodeSettlement } from "../../calls/decode_settlement.ts";
import { getAttemptIdentifier } from "../../calls/get_attempt_identifier.ts";
import type { Settlement } from "../../calls/settlement.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallsNode } from "./calls_node.ts";

/** Asks the node beside a backend server for the outcome of a try, on a fresh connection; undefined where it does not answer. */
export async function askSettlement(
  node: CallsNode,
  question: {
    readonly attempt: {
      readonly callIdentifier: string;
      readonly attempt: number;
    };
    readonly server: BackendServer;
    /** In milliseconds since the Unix epoch. */
    readonly callDeadline: number;
    /** When the answer is no longer waited for, in milliseconds since the Unix epoch. */
    readonly deadline: number;
  },
): Promise<Settlement | undefined> {
  const answer = await node.options.controlClient.call({
    address: question.server.nodeAddress,
    method: CallsControlMethod.SettleCall,
    parameters: {
      attemptIdentifier: getAttemptIdentifier(question.attempt),
      deadline: question.callDeadline,
    },
    deadline: question.deadline,
    freshConnection: true,
  });
  return answer.isOk ? decodeSettlement(answer.value) : undefined;
}
