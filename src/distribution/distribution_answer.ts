import type * as z from "zod";
import type { DistributionMethod } from "./distribution_method.ts";
import type { ExchangeMessage } from "./exchange_message.ts";
import type { readManifestAnswerSchema } from "./read_manifest_answer_schema.ts";
import type { readPartsAnswerSchema } from "./read_parts_answer_schema.ts";
import type { reconcileAnswerSchema } from "./reconcile_answer_schema.ts";
import type { storeVersionAnswerSchema } from "./store_version_answer_schema.ts";

/** A validated answer to a request. */
export type DistributionAnswer =
  | {
    readonly method: DistributionMethod.Exchange;
    readonly result: ExchangeMessage;
  }
  | {
    readonly method: DistributionMethod.Reconcile;
    readonly result: z.infer<typeof reconcileAnswerSchema>;
  }
  | {
    readonly method: DistributionMethod.ReadManifest;
    readonly result: z.infer<typeof readManifestAnswerSchema>;
  }
  | {
    readonly method: DistributionMethod.ReadParts;
    readonly result: z.infer<typeof readPartsAnswerSchema>;
  }
  | {
    readonly method: DistributionMethod.StoreVersion;
    readonly result: z.infer<typeof storeVersionAnswerSchema>;
  };
