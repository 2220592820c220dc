import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { requestJson } from "../../stand_ins/deployment/request_json.ts";
import type { MeasuredNodeStatus } from "./measured_node_status.ts";

/** Resolves with what the node on a VM says of itself; undefined where it does not answer. */
export function readNodeStatus(
  vm: DeploymentVm,
): Promise<MeasuredNodeStatus | undefined> {
  return requestJson<MeasuredNodeStatus>(vm.operatorsPort, "/status");
}
