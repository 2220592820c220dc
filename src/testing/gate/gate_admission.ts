import { requestSlot } from "../../gate/request_slot.ts";
import { processGateQueue } from "../../gate/process_gate_queue.ts";
import type { AdmissionPolicy } from "./admission_policy.ts";

/** The admission that `src/gate` implements. */
export const gateAdmission: AdmissionPolicy = {
  request: requestSlot,
  processQueue: processGateQueue,
};
