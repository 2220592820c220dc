import type * as z from "zod";
import type { refusalNoticeSchema } from "./refusal_notice_schema.ts";

/** A refusal of published content, as nodes report it to each other. */
export type RefusalNotice = z.infer<typeof refusalNoticeSchema>;
