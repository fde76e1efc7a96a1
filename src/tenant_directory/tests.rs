//! Tests of what is sent to an LDAP directory.

use super::*;

/// Guards against a user name that changes the search, for example so that it finds the entry of another user.
#[test]
fn a_user_name_is_only_a_value_in_the_name_and_the_filter() {
    let ldap = Ldap {
        url: "ldap://127.0.0.1:389".to_owned(),
        bind_dn: "uid={user},dc=x".to_owned(),
        base: "dc=x".to_owned(),
        filter: default_filter(),
        tenant_attribute: default_tenant_attribute(),
    };
    let expected = [
        ("ann", "uid=ann,dc=x", "(uid=ann)"),
        ("*", "uid=*,dc=x", "(uid=\\2a)"),
        ("a)(uid=*", "uid=a)(uid\\3d*,dc=x", "(uid=a\\29\\28uid=\\2a)"),
        ("a,dc=y+cn=b\0", "uid=a\\2cdc\\3dy\\2bcn\\3db\\00,dc=x", "(uid=a,dc=y+cn=b\\00)"),
        ("{user}\\", "uid={user}\\5c,dc=x", "(uid={user}\\5c)"),
    ];
    for (user, bind_dn, filter) in expected {
        assert_eq!((ldap.bind_dn_of(user), ldap.filter_of(user)), (bind_dn.to_owned(), filter.to_owned()));
    }
}
