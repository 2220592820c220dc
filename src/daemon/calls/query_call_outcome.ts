import { CallsControlMethod } from "../../calls/calls_control_method.ts";
import { decodeSettlement } from "../../calls/decode_settlement.ts";
import { getAttemptIdentifier } from "../../calls/get_attempt_identifier.ts";
import type { Settlement } from "../../calls/settlement.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallsNode } from "./calls_node.ts";

/**
 * Queries the node beside a backend server for the outcome of an attempt, on a new
 * connection. Resolves with undefined if the node does not respond.
 */
export async function queryCallOutcome(
  node: CallsNode,
  query: {
    readonly attempt: {
      readonly callIdentifier: string;
      readonly attempt: number;
    };
    readonly server: BackendServer;
    /** Deadline of the call, in milliseconds since the Unix epoch. */
    readonly callDeadline: number;
    /** Deadline of the query, in milliseconds since the Unix epoch. */
    readonly deadline: number;
  },
): Promise<Settlement | undefined> {
  const response = await node.options.controlClient.call({
    address: query.server.nodeAddress,
    method: CallsControlMethod.SettleCall,
    parameters: {
      attemptIdentifier: getAttemptIdentifier(query.attempt),
      deadline: query.callDeadline,
    },
    deadline: query.deadline,
    freshConnection: true,
  });
  return response.isOk ? decodeSettlement(response.value) : undefined;
}
