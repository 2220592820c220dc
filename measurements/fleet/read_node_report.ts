import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { requestJson } from "../../stand_ins/deployment/request_json.ts";
import type { NodeReport } from "./node_report.ts";

/** Resolves with what the node on a VM says of itself; undefined where it does not answer. */
export function readNodeReport(
  vm: DeploymentVm,
): Promise<NodeReport | undefined> {
  return requestJson<NodeReport>(vm.operatorsPort, "/status");
}
