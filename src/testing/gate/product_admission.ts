import { requestSlot } from "../../gate/request_slot.ts";
import { processGateQueue } from "../../gate/process_gate_queue.ts";
import type { OverloadAdmission } from "./overload_admission.ts";

/** The admission of the product. */
export const productAdmission: OverloadAdmission = {
  request: requestSlot,
  settle: processGateQueue,
};
