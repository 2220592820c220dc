import { Client } from "undici";
import type { Dispatcher } from "undici";
import { CallsControlMethod } from "../../src/calls/calls_control_method.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { loopback } from "../../stand_ins/deployment/loopback.ts";
import { InvalidRunError } from "../invalid_run_error.ts";

/**
 * Sends the node on a VM an outcome query for a key, as a new owner of the key
 * does to its predecessor. `by` is the VM of the new owner. Opens a new connection
 * if none is given. Rejects with InvalidRunError if the response has no result.
 */
export async function queryKeyOutcome(
  vm: DeploymentVm,
  options: {
    readonly key: string;
    readonly by: DeploymentVm;
    readonly connection: Dispatcher | undefined;
  },
): Promise<void> {
  const { key, by } = options;
  const origin = `http://${loopback}:${vm.nodesPort}`;
  const connection = options.connection ?? new Client(origin);
  const response = await connection.request({
    origin,
    method: "POST",
    path: "/control",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      jsonrpc: "2.0",
      id: 1,
      method: CallsControlMethod.SettleKey,
      params: {
        service: vm.service.name,
        key,
        backendServer: vm.backendServerName,
        by: {
          name: by.backendServerName,
          vm: by.vm,
          nodeAddress: { host: loopback, port: by.advertisedNodesPort },
        },
      },
    }),
  });
  const text = await response.body.text();
  if (connection !== options.connection) {
    await connection.close();
  }
  if (!("result" in JSON.parse(text))) {
    throw new InvalidRunError(
      `outcome query for a key returned an error: ${text}`,
    );
  }
}
