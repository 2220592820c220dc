import type { Result } from "true-myth";
import { match } from "ts-pattern";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { DistributionAnswer } from "./distribution_answer.ts";
import { DistributionMethod } from "./distribution_method.ts";
import { exchangeMessageSchema } from "./exchange_message_schema.ts";
import { parseControlMessage } from "./parse_control_message.ts";
import { readManifestAnswerSchema } from "./read_manifest_answer_schema.ts";
import { readPartsAnswerSchema } from "./read_parts_answer_schema.ts";
import { reconcileAnswerSchema } from "./reconcile_answer_schema.ts";
import { storeVersionAnswerSchema } from "./store_version_answer_schema.ts";

/** Validates the answer of another node to a request with the given method. */
export function parseDistributionAnswer(
  method: DistributionMethod,
  input: unknown,
): Result<DistributionAnswer, readonly Diagnostic[]> {
  return match(method)
    .returnType<Result<DistributionAnswer, readonly Diagnostic[]>>()
    .with(
      DistributionMethod.Exchange,
      (method) =>
        parseControlMessage(exchangeMessageSchema, input)
          .map((result) => ({ method, result })),
    )
    .with(
      DistributionMethod.Reconcile,
      (method) =>
        parseControlMessage(reconcileAnswerSchema, input)
          .map((result) => ({ method, result })),
    )
    .with(
      DistributionMethod.ReadManifest,
      (method) =>
        parseControlMessage(readManifestAnswerSchema, input)
          .map((result) => ({ method, result })),
    )
    .with(
      DistributionMethod.ReadParts,
      (method) =>
        parseControlMessage(readPartsAnswerSchema, input)
          .map((result) => ({ method, result })),
    )
    .with(
      DistributionMethod.StoreVersion,
      (method) =>
        parseControlMessage(storeVersionAnswerSchema, input)
          .map((result) => ({ method, result })),
    )
    .exhaustive();
}
