/// \file
/// Log events of the clients of the store.
#ifndef BORAGEBRIDGE_STORE_PLATFORM_EVENTS_H
#define BORAGEBRIDGE_STORE_PLATFORM_EVENTS_H

#include "boragebridge/event_log.h"

namespace boragebridge::events {

inline constexpr LogEvent PlatformLost{1300, Severity::Warning,
                                       "platform_lost"};
inline constexpr LogEvent PlatformBack{1301, Severity::Info, "platform_back"};
inline constexpr LogEvent WatchLost{1302, Severity::Warning, "watch_lost"};
inline constexpr LogEvent WatchCutOff{1308, Severity::Info, "watch_cut_off"};
inline constexpr LogEvent WatchRegained{1303, Severity::Info, "watch_regained"};
inline constexpr LogEvent WatchHistoryGone{1304, Severity::Info,
                                           "watch_history_gone"};
inline constexpr LogEvent StoreSilent{1305, Severity::Warning, "store_silent"};
inline constexpr LogEvent EntriesUnreadable{1306, Severity::Warning,
                                            "entries_unreadable"};
inline constexpr LogEvent StoreRestored{1307, Severity::Warning,
                                        "store_restored"};
/// The objects of a view are not those of the mirror that it is read from,
/// although the versions are the same. The view is listed again.
inline constexpr LogEvent ViewDiffers{1309, Severity::Warning, "view_differs"};
/// The store had changes that the open watch has not delivered, so an answer to
/// it was lost. The changes have been read now.
inline constexpr LogEvent WatchAnswerLost{1310, Severity::Warning,
                                          "watch_answer_lost"};

} // namespace boragebridge::events

#endif
