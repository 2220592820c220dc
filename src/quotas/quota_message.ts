import type { z } from "zod";
import type { quotaMessageSchema } from "./quota_message_schema.ts";

/** A message of a node to another one about an organisation's quota. */
export type QuotaMessage = z.infer<typeof quotaMessageSchema>;
