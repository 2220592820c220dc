import type * as z from "zod";
import type { refusalNoticeSchema } from "./refusal_notice_schema.ts";

/** A published text that was refused, as nodes tell each other. */
export type RefusalNotice = z.infer<typeof refusalNoticeSchema>;
