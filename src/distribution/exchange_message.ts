import type * as z from "zod";
import type { exchangeMessageSchema } from "./exchange_message_schema.ts";

/**
 * The message that two nodes send each other in an exchange, in both
 * directions.
 */
export type ExchangeMessage = z.infer<typeof exchangeMessageSchema>;
