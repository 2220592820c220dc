import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { requestJson } from "../../stand_ins/deployment/request_json.ts";
import type { MeasuredNodeStatus } from "./measured_node_status.ts";

/** Resolves with the status of the node on a VM, or undefined if it does not respond. */
export function readNodeStatus(
  vm: DeploymentVm,
): Promise<MeasuredNodeStatus | undefined> {
  return requestJson<MeasuredNodeStatus>(vm.operatorsPort, "/status");
}
